#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_CHECKER_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_CHECKER_HPP

#include <cstdint> // uint32_t
#include <string>  // string
#include <vector>  // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/container/flat_hash_set.h> // flat_hash_set

#include "soak_clients.hpp"

namespace endivehinge::tests
{

/// @brief checks what clients and targets saw against what is promised
///
/// - a request ends by its time limit, unless its node was in trouble
/// - a response is whole and belongs to its request
/// - a request that was refused has not run
/// - an unsafe request runs at most once, a safe one at most as often as its
///   route allows
/// - a target gets no request after its node has confirmed that it drains; one
///   that was on its way, since the target or its link stood still, may come
/// - a request that has crashed three targets crashes at most three more later
///   than 3 s after the third
/// - a node never goes back to an earlier configuration
/// - the log of its node has the reason of each request that was not served
/// @note thread safety: none
class soak_checker
{
public:
    /// @brief reads the files of a soak whose requests have ended
    soak_checker(soak_fleet const & served, soak_clients const & sent);

    /// @brief what was broken, one line each
    [[nodiscard]] std::vector<std::string> const & violations() const;

    /// @brief how many requests ended in which way
    [[nodiscard]] std::string summary() const;

private:
    void read_events(std::size_t member, soak_clients const & sent);
    void check_late(std::size_t member,
                    std::string const & id,
                    duration at,
                    soak_clients const & sent);
    void read_log(std::size_t member);
    void check_crashes(soak_clients const & sent, std::string const & path);
    void check(soak_request const & one);
    void check_answer(soak_request const & one, std::uint32_t ran);
    void check_missing(soak_request const & one);
    void check_explained(soak_request const & one);
    void violate(soak_request const & one, std::string const & what);

    soak_fleet const & fleet;
    absl::flat_hash_map<std::string, std::uint32_t> runs;
    // when each request ran
    absl::flat_hash_map<std::string, std::vector<duration>> run_times;
    // requests for whose end some log has a reason
    absl::flat_hash_set<std::string> explained;
    std::vector<std::string> found;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t missing = 0;
    std::size_t crashes_seen = 0;
};

} // namespace endivehinge::tests

#endif
