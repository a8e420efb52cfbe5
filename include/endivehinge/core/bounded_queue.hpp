#ifndef ENDIVEHINGE_CORE_BOUNDED_QUEUE_HPP
#define ENDIVEHINGE_CORE_BOUNDED_QUEUE_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <utility>  // move

#include <absl/synchronization/mutex.h> // Mutex, MutexLock
#include <absl/time/time.h>             // Duration
#include <boost/circular_buffer.hpp>    // circular_buffer

namespace endivehinge
{

/// @brief joins two duties: one thread puts, another takes; never grows
/// @note thread safety: any number of threads on both sides
template <class Item>
class bounded_queue
{
public:
    /// @param capacity the most items that wait at a time; at least one
    explicit bounded_queue(std::size_t capacity)
        : items(capacity)
    {
    }

    /// @brief adds an item unless the ring is full or closed
    /// @return whether it was added
    [[nodiscard]] bool try_push(Item item)
    {
        absl::MutexLock lock(&this->mutex);
        if (this->closed || this->items.full())
        {
            return false;
        }
        this->items.push_back(std::move(item));
        return true;
    }

    /// @brief takes the oldest item, waiting for one
    /// @return nothing if the time ran out, or the ring is closed and empty
    [[nodiscard]] std::optional<Item> pop(absl::Duration patience)
    {
        absl::MutexLock lock(&this->mutex);
        this->mutex.AwaitWithTimeout(
            absl::Condition(this, &bounded_queue::is_ready), patience);
        if (this->items.empty())
        {
            return std::nullopt;
        }
        std::optional<Item> item(std::move(this->items.front()));
        this->items.pop_front();
        return item;
    }

    /// @brief lets no more items in and wakes those who wait
    void close()
    {
        absl::MutexLock lock(&this->mutex);
        this->closed = true;
    }

    /// @brief whether close was called
    [[nodiscard]] bool is_closed() const
    {
        absl::MutexLock lock(&this->mutex);
        return this->closed;
    }

private:
    bool is_ready() const
    {
        return this->closed || !this->items.empty();
    }

    mutable absl::Mutex mutex;
    boost::circular_buffer<Item> items;
    bool closed = false;
};

} // namespace endivehinge

#endif
