#ifndef ENDIVEHINGE_DETAIL_GATEWAY_SHARED_BODY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_SHARED_BODY_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <utility> // pair

#include <boost/asio/buffer.hpp>              // const_buffer
#include <boost/beast/core/buffers_range.hpp> // buffers_range_ref
#include <boost/beast/core/error.hpp>         // error_code
#include <boost/beast/http/message.hpp>       // header
#include <boost/beast/http/type_traits.hpp>   // is_body
#include <boost/optional/optional.hpp>        // optional

#include <endivehinge/detail/gateway/body_buffer.hpp>

namespace endivehinge::detail
{

/// @brief body of an HTTP request whose copies share their bytes
///
/// Takes memory for what has arrived, and none for what the sender states.
/// @note thread safety: none
struct shared_body
{
    using value_type = body_buffer;

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

        void init(boost::optional<std::uint64_t> const & /*length*/,
                  boost::beast::error_code & error)
        {
            error = {};
        }

        template <class ConstBufferSequence>
        std::size_t put(ConstBufferSequence const & buffers,
                        boost::beast::error_code & error)
        {
            std::size_t size = 0;
            for (boost::asio::const_buffer const part :
                 boost::beast::buffers_range_ref(buffers))
            {
                this->body.append(static_cast<char const *>(part.data()),
                                  part.size());
                size += part.size();
            }
            error = {};
            return size;
        }

        void finish(boost::beast::error_code & error)
        {
            error = {};
        }

    private:
        value_type & body;
    };

    /// @brief passes on one segment at a time, as Boost.Beast requires of a
    /// BodyWriter
    class writer
    {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool is_request, class Fields>
        writer(
            boost::beast::http::header<is_request, Fields> const & /*header*/,
            value_type const & sent)
            : body(sent)
        {
        }

        void init(boost::beast::error_code & error)
        {
            error = {};
        }

        boost::optional<std::pair<const_buffers_type, bool>>
        get(boost::beast::error_code & error)
        {
            error = {};
            if (this->next >= this->body.segment_count())
            {
                return boost::none;
            }
            auto const bytes = this->body.segment(this->next);
            this->next += 1;
            return std::pair(const_buffers_type(bytes.data(), bytes.size()),
                             this->next < this->body.segment_count());
        }

    private:
        value_type const & body;
        std::size_t next = 0;
    };
};

static_assert(boost::beast::http::is_body<shared_body>::value);
static_assert(boost::beast::http::is_body_reader<shared_body>::value);
static_assert(boost::beast::http::is_body_writer<shared_body>::value);

} // namespace endivehinge::detail

#endif
