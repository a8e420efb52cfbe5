#ifndef ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_PARSER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_PARSER_HPP

#include <cstddef>     // size_t
#include <cstdint>     // uint32_t, uint64_t
#include <type_traits> // conditional_t
#include <utility>     // move

#include <boost/beast/core/error.hpp>       // error_code
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer
#include <boost/beast/http/error.hpp>       // error
#include <boost/beast/http/message.hpp>     // message
#include <boost/beast/http/parser.hpp>      // parser
#include <boost/beast/http/string_body.hpp> // string_body

#include <endivehinge/detail/gateway/message_grammar.hpp>
#include <endivehinge/detail/gateway/received_body.hpp>
#include <endivehinge/detail/gateway/shared_body.hpp>

namespace endivehinge::detail
{

/// @brief limits on one received HTTP message
struct message_limits
{
    // start line and header fields; also trailer fields, and each line between
    // the parts of a chunked body
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 67108864;
};

/// @brief parses one received HTTP message, strictly by RFC 9112; each of its
/// bytes counts against a limit
/// @note thread safety: none
template <bool is_request>
class message_parser
{
public:
    using message_type = boost::beast::http::message<
        is_request,
        std::conditional_t<is_request,
                           shared_body,
                           boost::beast::http::string_body>>;

    explicit message_parser(message_limits const & message_bounds)
        : limits(message_bounds)
    {
        this->parser.header_limit(message_bounds.header_bytes);
        this->parser.body_limit(message_bounds.body_bytes);
    }

    /// @brief the message has no body, whatever its header states
    /// @pre nothing was parsed
    void skip_body()
    {
        this->parser.skip(true);
    }

    /// @brief replaces the limit on the body
    /// @pre the header is not parsed
    void set_body_limit(std::uint64_t bytes)
    {
        this->limits.body_bytes = bytes;
        this->parser.body_limit(bytes);
    }

    /// @brief parses and consumes received bytes
    /// @param error set to need_more if the message is not complete, to
    /// header_limit or body_limit if it is too long
    void put(boost::beast::flat_buffer & buffer,
             boost::beast::error_code & error)
    {
        bool const had_header = this->parser.is_header_done();
        this->put_part(buffer, error);
        bool const has_new_header =
            !had_header && this->parser.is_header_done() && !error;
        if (has_new_header)
        {
            error = this->check_header();
        }
        bool const begins_body = has_new_header && !error;
        if (begins_body && !this->parser.is_done() && buffer.size() > 0)
        {
            this->put_part(buffer, error);
        }
        if (!error && !this->parser.is_done())
        {
            error = boost::beast::http::error::need_more;
        }
    }

    /// @brief the connection has ended, which completes a message without a
    /// length
    void put_eof(boost::beast::error_code & error)
    {
        this->parser.put_eof(error);
    }

    [[nodiscard]] bool is_header_done() const
    {
        return this->parser.is_header_done();
    }

    [[nodiscard]] bool is_done() const
    {
        return this->parser.is_done();
    }

    [[nodiscard]] bool keep_alive() const
    {
        return this->parser.keep_alive();
    }

    /// @brief whether the body extends to the end of the connection
    /// @pre is_header_done()
    [[nodiscard]] bool needs_eof() const
    {
        return this->parser.need_eof() && !this->parser.is_done();
    }

    /// @brief the header of the message
    /// @pre is_header_done()
    [[nodiscard]] auto const & header() const
    {
        return this->parser.get().base();
    }

    /// @brief the length of the body that the head states; 0 if it states none
    /// @pre is_header_done()
    [[nodiscard]] std::uint64_t stated_body_bytes() const
    {
        auto const length = this->parser.content_length();
        return length ? *length : 0;
    }

    /// @brief bytes of the body that have arrived
    [[nodiscard]] std::uint64_t body_bytes() const
    {
        return this->parser.get().body().size();
    }

    /// @brief memory that the body occupies, in bytes
    [[nodiscard]] std::size_t body_memory() const
    {
        return this->parser.get().body().capacity();
    }

    /// @brief the complete message
    /// @pre is_done(); the parser is not used afterwards
    [[nodiscard]] message_type release()
    {
        auto received = this->parser.release();
        message_type message(std::move(received.base()));
        message.body() = std::move(received.body());
        return message;
    }

private:
    // framing bytes that are allowed for each byte of the body, beyond the
    // limit on header bytes; a chunk of one byte may have a size of eight
    // digits
    static constexpr std::uint64_t framing_share = 16;

    [[nodiscard]] boost::beast::error_code check_header() const
    {
        if constexpr (is_request)
        {
            return check_request_head(this->parser.get().base());
        }
        else
        {
            return check_response_head(this->parser.get().base());
        }
    }

    void put_part(boost::beast::flat_buffer & buffer,
                  boost::beast::error_code & error)
    {
        // An eager parser continues with the body after an error in the
        // header, for example a length above the limit
        this->parser.eager(this->parser.is_header_done());
        bool const in_body = this->parser.is_header_done();
        auto const body_before = this->parser.get().body().size();
        auto const consumed = this->parser.put(buffer.data(), error);
        buffer.consume(consumed);
        auto const body_bytes = this->parser.get().body().size();
        if (in_body)
        {
            this->framing_bytes += consumed - (body_bytes - body_before);
        }
        bool const is_line_too_long =
            error == boost::beast::http::error::need_more &&
            buffer.size() > this->limits.header_bytes;
        bool const is_framing_too_long =
            this->framing_bytes >
            this->limits.header_bytes + framing_share * body_bytes;
        if (is_line_too_long || is_framing_too_long)
        {
            error = boost::beast::http::error::header_limit;
        }
    }

    message_limits limits;
    // both take memory only for what has arrived
    using parsed_body =
        std::conditional_t<is_request, shared_body, received_body>;

    boost::beast::http::parser<is_request, parsed_body> parser;
    std::uint64_t framing_bytes = 0;
};

} // namespace endivehinge::detail

#endif
