#include <endivehinge/detail/node/peer_handler.hpp>

#include <utility> // move

#include <endivehinge/detail/node/hop_codec.hpp>

namespace endivehinge::detail
{

peer_handler::peer_handler(local_executor & local, clock const & source)
    : executor(local)
    , time(source)
{
}

http_response peer_handler::handle(http_request message,
                                   http_connection connection)
{
    failure reason;
    auto const hop =
        decode_hop_request(std::move(message), this->time.now(), reason);
    if (!hop.has_value())
    {
        return encode_hop_outcome(
            outcome::rejected(std::move(reason), duration(0)));
    }
    return encode_hop_outcome(
        this->executor.execute(hop->content, connection.socket));
}

} // namespace endivehinge::detail
