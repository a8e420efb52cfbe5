#include <endivehinge/detail/gateway/body_buffer.hpp>

#include <algorithm> // copy_n, max, min

namespace endivehinge::detail
{

body_buffer::body_buffer(std::string const & text)
{
    if (!text.empty())
    {
        grow(this->pieces.emplace_back(), text.size());
        this->append(text.data(), text.size());
    }
}

body_buffer::body_buffer(char const * text)
    : body_buffer(std::string(text))
{
}

void body_buffer::append(char const * bytes, std::size_t size)
{
    std::size_t copied = 0;
    while (copied < size)
    {
        auto & last = this->writable_piece();
        auto const most = std::max(segment_bytes, last.capacity);
        auto const count = std::min(size - copied, most - last.size);
        if (auto const needed = last.size + count; needed > last.capacity)
        {
            // a body of more than one segment fills each of them
            bool const is_first = this->pieces.size() == 1;
            grow(last,
                 is_first ? std::max(needed,
                                     std::min(2 * last.capacity, segment_bytes))
                          : segment_bytes);
        }
        std::copy_n(bytes + copied, count, last.bytes.get() + last.size);
        last.size += count;
        copied += count;
    }
    this->byte_count += size;
}

body_buffer::piece & body_buffer::writable_piece()
{
    // a copy of this body may have added bytes of its own to a shared piece
    bool const has_room =
        !this->pieces.empty() && this->pieces.back().bytes.use_count() <= 1 &&
        this->pieces.back().size <
            std::max(segment_bytes, this->pieces.back().capacity);
    return has_room ? this->pieces.back() : this->pieces.emplace_back();
}

void body_buffer::grow(piece & last, std::size_t needed)
{
    std::shared_ptr<char[]> larger(new char[needed]);
    std::copy_n(last.bytes.get(), last.size, larger.get());
    last.bytes = std::move(larger);
    last.capacity = needed;
}

std::size_t body_buffer::size() const
{
    return this->byte_count;
}

std::size_t body_buffer::capacity() const
{
    std::size_t sum = 0;
    for (auto const & one : this->pieces)
    {
        sum += one.capacity;
    }
    return sum;
}

std::size_t body_buffer::segment_count() const
{
    return this->pieces.size();
}

std::string_view body_buffer::segment(std::size_t index) const
{
    auto const & one = this->pieces[index];
    return {one.bytes.get(), one.size};
}

std::string body_buffer::text() const
{
    std::string joined;
    joined.reserve(this->byte_count);
    for (std::size_t i = 0; i < this->segment_count(); ++i)
    {
        joined += this->segment(i);
    }
    return joined;
}

} // namespace endivehinge::detail
