#ifndef ENDIVEHINGE_TESTS_GATEWAY_BYTE_MUTATOR_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_BYTE_MUTATOR_HPP

#include <cstdint> // uint32_t
#include <random>  // mt19937
#include <string>  // string

namespace endivehinge::tests
{

/// @brief changes messages at random, and inserts parts that parsers get wrong
/// @note thread safety: none
class byte_mutator
{
public:
    explicit byte_mutator(std::uint32_t seed);

    /// @brief the message with a few changes
    [[nodiscard]] std::string mutate(std::string message);

    /// @brief whether an event of this probability happens
    [[nodiscard]] bool happens(double probability);

    /// @brief a number from 0 to limit - 1
    [[nodiscard]] std::size_t below(std::size_t limit);

private:
    void change(std::string & message);

    std::mt19937 random;
};

} // namespace endivehinge::tests

#endif
