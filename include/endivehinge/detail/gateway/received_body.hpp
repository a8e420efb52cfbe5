#ifndef ENDIVEHINGE_DETAIL_GATEWAY_RECEIVED_BODY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_RECEIVED_BODY_HPP

#include <algorithm> // max, min
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <string>    // string

#include <boost/asio/buffer.hpp>            // buffer_copy, buffer_size, buffer
#include <boost/beast/core/error.hpp>       // error_code
#include <boost/beast/http/message.hpp>     // header
#include <boost/beast/http/type_traits.hpp> // is_body
#include <boost/optional/optional.hpp>      // optional

namespace endivehinge::detail
{

/// @brief body of an HTTP message that is being received
///
/// Takes memory for what has arrived, and none for what the sender states.
/// @note thread safety: none
struct received_body
{
    using value_type = std::string;

    static std::uint64_t size(value_type const & body)
    {
        return body.size();
    }

    /// @brief appends what arrives, as Boost.Beast requires of a BodyReader
    class reader
    {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields> & /*header*/,
               value_type & received)
            : body(received)
        {
        }

        void init(boost::optional<std::uint64_t> const & length,
                  boost::beast::error_code & error)
        {
            this->stated_length = std::min<std::uint64_t>(
                length.value_or(this->body.max_size()), this->body.max_size());
            error = {};
        }

        template <class ConstBufferSequence>
        std::size_t put(ConstBufferSequence const & buffers,
                        boost::beast::error_code & error)
        {
            auto const size = this->body.size();
            auto const needed = size + boost::asio::buffer_size(buffers);
            if (needed > this->body.capacity())
            {
                this->body.reserve(std::max<std::size_t>(
                    needed,
                    std::min<std::size_t>(2 * this->body.capacity(),
                                          this->stated_length)));
            }
            this->body.resize(needed);
            error = {};
            return boost::asio::buffer_copy(
                boost::asio::buffer(&this->body[size], needed - size), buffers);
        }

        void finish(boost::beast::error_code & error)
        {
            error = {};
        }

    private:
        value_type & body;
        std::size_t stated_length = 0;
    };
};

static_assert(boost::beast::http::is_body<received_body>::value);
static_assert(boost::beast::http::is_body_reader<received_body>::value);

} // namespace endivehinge::detail

#endif
