#include "coursejunction/transfer/chunk_store.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
using addition = cj::chunk_store::add_result;

SCENARIO("staging holds only what is right", "[transfer]")
{
    const auto bytes = fixtures::model_bytes(4);
    const auto chunk = [&](std::size_t at)
    { return bytes.substr(at * fixtures::chunk_bytes, fixtures::chunk_bytes); };
    cj::chunk_store held(fixtures::manifest_of(bytes));

    GIVEN("chunks that come in any order, some twice")
    {
        CHECK(held.add(2, chunk(2)) == addition::added);
        CHECK(held.add(2, chunk(2)) == addition::already_held);
        CHECK(held.memory_bytes() == fixtures::chunk_bytes);
        CHECK_FALSE(held.complete());
    }
    GIVEN("a chunk that is another one, cut, or outside")
    {
        CHECK(held.add(1, chunk(2)) == addition::corrupt);
        CHECK(held.add(1, chunk(1).substr(1)) == addition::corrupt);
        CHECK(held.add(9, chunk(1)) == addition::corrupt);
        CHECK(held.size() == 0);
    }
    GIVEN("another version that shares half of the chunks")
    {
        const auto other_bytes = bytes.substr(0, 2 * fixtures::chunk_bytes) +
                                 fixtures::model_bytes(2, 'z');
        cj::chunk_store other(fixtures::manifest_of(other_bytes));
        for (cj::chunk_index at = 0; at < 4; ++at)
            held.add(at, chunk(at));
        THEN("what is common is not fetched again")
        {
            CHECK(other.copy_common_from(held) ==
                  std::vector<cj::chunk_index>{0, 1});
            CHECK(other.size() == 2);
        }
    }
}

TEST_CASE("no change to a chunk goes unnoticed", "[transfer]")
{
    rc::prop("whichever byte",
             []
             {
                 const auto bytes = fixtures::model_bytes(1);
                 auto changed = bytes;
                 const auto at =
                     *rc::gen::inRange<std::size_t>(0, bytes.size());
                 changed[at] ^= static_cast<char>(*rc::gen::inRange(1, 127));
                 cj::chunk_store held(fixtures::manifest_of(bytes));
                 RC_ASSERT(held.add(0, changed) == addition::corrupt);
             });
}

SCENARIO("bytes that lie elsewhere need not be kept", "[transfer]")
{
    const auto bytes = fixtures::model_bytes(4);
    cj::chunk_store held(fixtures::manifest_of(bytes));
    held.add(1, bytes.substr(fixtures::chunk_bytes, fixtures::chunk_bytes));

    WHEN("a chunk is released")
    {
        held.release_bytes(1);
        held.release_bytes(1);
        held.release_bytes(2);
        THEN("it still counts as held, without its bytes")
        {
            CHECK(held.contains(1));
            CHECK(held.find(1) == nullptr);
            CHECK(held.memory_bytes() == 0);
            CHECK(held.size() == 1);
            CHECK(held.held_chunks() == std::vector<cj::chunk_index>{1});
        }
        AND_WHEN("it turns out to be bad there")
        {
            held.discard(1);
            THEN("it may come again")
            {
                CHECK_FALSE(held.contains(1));
                CHECK(held.size() == 0);
                CHECK(held.add(1, bytes.substr(fixtures::chunk_bytes,
                                               fixtures::chunk_bytes)) ==
                      addition::added);
            }
        }
    }
}
