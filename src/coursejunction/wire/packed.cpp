#include "coursejunction/wire/packed.hpp"

#include <zlib.h>

namespace coursejunction
{

namespace
{

const Bytef* bytes_of(std::string_view text)
{
    return reinterpret_cast<const Bytef*>(text.data());
}

} // namespace

std::string pack(std::string_view plain)
{
    uLongf size = ::compressBound(plain.size());
    std::string packed(size, '\0');
    // The buffer has the upper bound of the size, so compression fails only
    // if memory runs out.
    const int status =
        ::compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                    bytes_of(plain), plain.size(), Z_BEST_SPEED);
    packed.resize(status == Z_OK ? size : 0);
    return packed;
}

result<std::string> unpack(std::string_view packed, std::size_t plain_bytes)
{
    if (plain_bytes > max_unpacked_bytes)
        return failure(error_kind::refused,
                       "uncompressed size exceeds the limit");
    std::string plain(plain_bytes, '\0');
    uLongf size = plain_bytes;
    const int status = ::uncompress(reinterpret_cast<Bytef*>(plain.data()),
                                    &size, bytes_of(packed), packed.size());
    if (status != Z_OK || size != plain_bytes)
        return failure(error_kind::refused,
                       "compressed value is damaged or has another size");
    return plain;
}

} // namespace coursejunction
