#ifndef ENDIVEHINGE_DETAIL_GATEWAY_BODY_BUFFER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_BODY_BUFFER_HPP

#include <cstddef>     // size_t
#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace endivehinge::detail
{

/// @brief the bytes of a message body, which copies of the message share
///
/// A body is held once, however many attempts and nodes it is sent to. Segments
/// keep a growing body from being copied and take no more than its size.
/// @note thread safety: none; copies are used on one event loop
class body_buffer
{
public:
    // larger than most bodies, which are in one segment and one write; small
    // enough that the unused rest of the last segment does not matter
    static constexpr std::size_t segment_bytes = 65536;

    body_buffer() = default;

    // implicit, so that a text is assigned like to any body
    body_buffer(
        std::string const & text);  // NOLINT(google-explicit-constructor)
    body_buffer(char const * text); // NOLINT(google-explicit-constructor)

    /// @brief adds bytes at the end; copies made before do not change
    void append(char const * bytes, std::size_t size);

    [[nodiscard]] std::size_t size() const;

    /// @brief the memory of the segments, in bytes
    [[nodiscard]] std::size_t capacity() const;

    [[nodiscard]] std::size_t segment_count() const;

    /// @pre index < segment_count()
    [[nodiscard]] std::string_view segment(std::size_t index) const;

    /// @brief a copy of all bytes
    [[nodiscard]] std::string text() const;

    friend bool operator==(body_buffer const & body, std::string_view text)
    {
        return body.text() == text;
    }

    friend bool operator!=(body_buffer const & body, std::string_view text)
    {
        return !(body == text);
    }

private:
    struct piece
    {
        // shared by copies of the body
        std::shared_ptr<char[]> bytes;
        std::size_t size = 0;
        std::size_t capacity = 0;
    };

    /// @brief the last piece, with room for at least one byte
    [[nodiscard]] piece & writable_piece();
    /// @brief replaces the bytes of a piece by a copy with more room
    static void grow(piece & last, std::size_t needed);

    std::vector<piece> pieces;
    std::size_t byte_count = 0;
};

} // namespace endivehinge::detail

#endif
