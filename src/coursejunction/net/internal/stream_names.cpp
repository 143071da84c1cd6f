#include "coursejunction/net/stream_client.hpp"

namespace coursejunction
{

std::string_view stream_end_name(stream_end end)
{
    switch (end)
    {
    case stream_end::whole:
        return "whole";
    case stream_end::unframed:
        return "unframed";
    case stream_end::not_sent:
        return "not_sent";
    case stream_end::closed:
        return "closed";
    case stream_end::stale:
        return "stale";
    case stream_end::broken:
        return "broken";
    case stream_end::malformed:
        return "malformed";
    }
    return "";
}

std::string_view body_framing_name(body_framing framing)
{
    switch (framing)
    {
    case body_framing::none:
        return "none";
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection:
        return "connection";
    }
    return "";
}

} // namespace coursejunction
