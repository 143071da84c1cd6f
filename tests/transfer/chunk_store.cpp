#include "coursejunction/transfer/chunk_store.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
using add_result = cj::chunk_store::add_result;

SCENARIO("a chunk store holds only chunks that match the manifest",
         "[transfer]")
{
    const auto bytes = fixtures::model_bytes(4);
    const auto chunk = [&](std::size_t index) {
        return bytes.substr(index * fixtures::chunk_bytes,
                            fixtures::chunk_bytes);
    };
    cj::chunk_store store(fixtures::manifest_of(bytes));

    GIVEN("chunks in any order, one of them twice")
    {
        CHECK(store.add(2, chunk(2)) == add_result::added);
        CHECK(store.add(2, chunk(2)) == add_result::already_held);
        CHECK(store.memory_bytes() == fixtures::chunk_bytes);
        CHECK_FALSE(store.complete());
    }
    GIVEN("a chunk with the bytes of another one, cut short or out of range")
    {
        CHECK(store.add(1, chunk(2)) == add_result::corrupt);
        CHECK(store.add(1, chunk(1).substr(1)) == add_result::corrupt);
        CHECK(store.add(9, chunk(1)) == add_result::corrupt);
        CHECK(store.size() == 0);
    }
    GIVEN("another version that shares half of the chunks")
    {
        const auto other_bytes = bytes.substr(0, 2 * fixtures::chunk_bytes) +
                                 fixtures::model_bytes(2, 'z');
        cj::chunk_store other(fixtures::manifest_of(other_bytes));
        for (cj::chunk_index index = 0; index < 4; ++index)
            store.add(index, chunk(index));
        THEN("common chunks are not fetched again")
        {
            CHECK(other.copy_common_from(store) ==
                  std::vector<cj::chunk_index>{0, 1});
            CHECK(other.size() == 2);
        }
    }
}

TEST_CASE("any changed byte of a chunk is detected", "[transfer]")
{
    rc::prop("whichever byte",
             []
             {
                 const auto bytes = fixtures::model_bytes(1);
                 auto changed = bytes;
                 const auto index =
                     *rc::gen::inRange<std::size_t>(0, bytes.size());
                 changed[index] ^= static_cast<char>(*rc::gen::inRange(1, 127));
                 cj::chunk_store store(fixtures::manifest_of(bytes));
                 RC_ASSERT(store.add(0, changed) == add_result::corrupt);
             });
}

SCENARIO("released bytes do not occupy memory", "[transfer]")
{
    const auto bytes = fixtures::model_bytes(4);
    cj::chunk_store store(fixtures::manifest_of(bytes));
    store.add(1, bytes.substr(fixtures::chunk_bytes, fixtures::chunk_bytes));

    WHEN("a chunk is released")
    {
        store.release_bytes(1);
        store.release_bytes(1);
        store.release_bytes(2);
        THEN("it still counts as held, without its bytes")
        {
            CHECK(store.contains(1));
            CHECK(store.find(1) == nullptr);
            CHECK(store.memory_bytes() == 0);
            CHECK(store.size() == 1);
            CHECK(store.held_chunks() == std::vector<cj::chunk_index>{1});
        }
        AND_WHEN("its other copy turns out to be corrupt")
        {
            store.discard(1);
            THEN("it can be added again")
            {
                CHECK_FALSE(store.contains(1));
                CHECK(store.size() == 0);
                CHECK(store.add(1, bytes.substr(fixtures::chunk_bytes,
                                                fixtures::chunk_bytes)) ==
                      add_result::added);
            }
        }
    }
}
