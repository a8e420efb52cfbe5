#ifndef ENDIVEHINGE_COORDINATION_LOCAL_HEALTH_HPP
#define ENDIVEHINGE_COORDINATION_LOCAL_HEALTH_HPP

#include <algorithm> // max, min

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief local health score as in Lifeguard (DSN 2018): the likelier this node
///        itself is slow or disconnected, the longer its failure detection
///        timeouts
/// @note thread safety: none; for use on one thread
class local_health
{
public:
    /// @brief maximum score, at which timeouts are multiplied by 1 + max_score
    static constexpr int max_score = 8;

    /// @brief to be called on evidence that this node is slow or disconnected
    void increase_score()
    {
        this->score = std::min(this->score + 1, max_score);
    }

    /// @brief to be called on evidence that this node is healthy
    void decrease_score()
    {
        this->score = std::max(this->score - 1, 0);
    }

    /// @brief to be called after the process was paused
    void set_max_score()
    {
        this->score = max_score;
    }

    /// @brief returns a timeout, multiplied according to the score
    [[nodiscard]] duration scale_timeout(duration timeout) const
    {
        return timeout * (1 + this->score);
    }

private:
    int score = 0;
};

} // namespace endivehinge

#endif
