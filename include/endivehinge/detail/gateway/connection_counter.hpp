#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CONNECTION_COUNTER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CONNECTION_COUNTER_HPP

#include <cstddef> // size_t

namespace endivehinge::detail
{

/// @brief bounds the connections to several servers together
/// @note thread safety: none; used on the event loop only
class connection_counter
{
public:
    explicit connection_counter(std::size_t most)
        : limit(most)
    {
    }

    /// @brief counts a further connection
    /// @return false if there are as many as the limit
    [[nodiscard]] bool try_add()
    {
        if (this->count >= this->limit)
        {
            return false;
        }
        this->count += 1;
        return true;
    }

    /// @pre try_add() has returned true for this connection
    void remove()
    {
        this->count -= 1;
    }

private:
    std::size_t limit;
    std::size_t count = 0;
};

} // namespace endivehinge::detail

#endif
