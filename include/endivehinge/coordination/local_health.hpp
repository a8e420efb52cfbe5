#ifndef ENDIVEHINGE_COORDINATION_LOCAL_HEALTH_HPP
#define ENDIVEHINGE_COORDINATION_LOCAL_HEALTH_HPP

#include <algorithm> // max, min

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief how far this node should doubt itself before it doubts others,
///        as in Lifeguard (DSN 2018)
/// @note thread safety: one thread
class local_health
{
public:
    /// @brief the most that timeouts are stretched by
    static constexpr int max_score = 8;

    /// @brief a sign that this node is slow or cut off
    void worsen()
    {
        this->score = std::min(this->score + 1, max_score);
    }

    /// @brief a sign that this node is well
    void improve()
    {
        this->score = std::max(this->score - 1, 0);
    }

    /// @brief this node has just been paused
    void distrust()
    {
        this->score = max_score;
    }

    /// @brief a timeout, stretched by the doubt
    [[nodiscard]] duration stretch(duration timeout) const
    {
        return timeout * (1 + this->score);
    }

private:
    int score = 0;
};

} // namespace endivehinge

#endif
