#include "coursejunction/core/request_content.hpp"

#include <algorithm>

#include "coursejunction/core/digest.hpp"

namespace coursejunction
{

request_content request_content::of(std::string_view caller,
                                    std::string_view target,
                                    std::string_view body)
{
    // The length prefix distinguishes different splits of the same bytes into
    // caller and target. The body may be several megabytes: it is hashed
    // separately to avoid a copy.
    const auto text = std::to_string(caller.size()) + ":" +
                      std::string(caller) + std::string(target) + "\n" +
                      digest::of(body).hex();
    return from_text(text);
}

request_content request_content::of_part(std::string_view service,
                                         std::string_view part)
{
    // The text of a request begins with a digit.
    return from_text("part " + std::to_string(service.size()) + ":" +
                     std::string(service) + std::string(part));
}

request_content request_content::from_text(std::string_view text)
{
    const auto whole = digest::of(text);
    value_type first{};
    std::copy_n(whole.bytes().begin(), size, first.begin());
    return request_content(first);
}

result<request_content> request_content::parse(std::string_view text)
{
    const auto bytes = from_hex(text);
    if (!bytes || bytes.value().size() != size)
        return failure(
            error_kind::invalid,
            "a request content must have 32 lower-case hexadecimal digits");
    value_type raw{};
    std::copy(bytes.value().begin(), bytes.value().end(), raw.begin());
    return request_content(raw);
}

std::string request_content::hex() const
{
    return to_hex(
        std::string_view(reinterpret_cast<const char*>(raw.data()), size));
}

} // namespace coursejunction
