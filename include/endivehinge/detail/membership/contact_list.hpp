#ifndef ENDIVEHINGE_DETAIL_MEMBERSHIP_CONTACT_LIST_HPP
#define ENDIVEHINGE_DETAIL_MEMBERSHIP_CONTACT_LIST_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string
#include <thread>  // thread
#include <vector>  // vector

#include <absl/random/random.h>         // BitGen
#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/contact.hpp>
#include <endivehinge/coordination/object_store.hpp>
#include <endivehinge/detail/membership/membership_service.hpp>

namespace endivehinge::detail
{

/// @brief a list of contacts as the value of a platform object
[[nodiscard]] std::string write_contacts(std::vector<contact> const & contacts);

/// @brief reads what write_contacts wrote; what is unreadable is left out
[[nodiscard]] std::vector<contact> read_contacts(std::string const & value);

/// @brief how often contacts are read and written
struct contact_list_options
{
    duration joined_interval = std::chrono::seconds(60);
    // more time between reads with more members, so that the reads of the
    // fleet do not grow with it: at most 50 a second
    duration joined_interval_per_member = std::chrono::milliseconds(20);
    duration min_retry = std::chrono::milliseconds(500);
    duration max_retry = std::chrono::seconds(30);
    // a node waits a random part of this, and reads again, before it writes
    duration write_jitter = std::chrono::seconds(5);
    duration first_write_jitter = std::chrono::milliseconds(500);
    // rounds after which a contact that is not known counts as gone
    std::uint64_t patient_rounds = 3;
};

/// @brief the mean time between two reads of a node that has joined
[[nodiscard]] duration
joined_read_interval(contact_list_options const & options, std::size_t members);

/// @brief keeps contact nodes in the platform, one object a failure domain,
///        and joins through them
/// @note one thread; an outage of the platform only delays it
class contact_list
{
public:
    /// @param store outlives the list
    /// @param joined the node's membership, announced; outlives the list
    contact_list(object_store & store,
                 membership_service & joined,
                 contact_list_options options = {});
    contact_list(contact_list const &) = delete;
    contact_list & operator=(contact_list const &) = delete;
    ~contact_list();

    /// @brief begins, on a thread of its own
    /// @note call once
    void start();

    /// @brief ends the thread, at the latest after the call to the platform
    ///        that is under way
    /// @note thread safety: one thread; may be called again
    void stop();

private:
    void run();
    bool read_all();
    void keep_domain(std::vector<contact> const & listed);
    // whether there is nothing left to write now
    bool write_domain();
    bool doubts_unknown() const;
    bool wait(duration span);
    duration jitter(duration span);

    object_store & store;
    membership_service & members;
    contact_list_options options;
    absl::BitGen random;
    std::uint64_t rounds = 0;
    absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread worker;
};

} // namespace endivehinge::detail

#endif
