#include <endivehinge/detail/gateway/store_restore_log.hpp>

#include <algorithm> // all_of

#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::detail
{
namespace
{

std::string to_text(object_version version)
{
    return absl::StrCat(version.era().value(), ".", version.value());
}

} // namespace

store_restore_log::store_restore_log(event_log & events)
    : log(events)
{
}

void store_restore_log::record(restored_copy const & copy,
                               replica_versions const & versions)
{
    auto & noted = this->copies[static_cast<std::size_t>(copy.kind)];
    auto const old_version = noted ? noted->old_version : copy.old_version;
    noted = copy;
    // a further restore may come before all copies have followed the last one
    noted->old_version = old_version;
    auto const era = copy.new_version.era();
    bool const is_complete = std::all_of(
        versions.kinds.begin(),
        versions.kinds.end(),
        [era](object_version version)
        {
            return version == object_version() || version.era() >= era;
        });
    if (!is_complete)
    {
        return;
    }
    std::size_t missing_objects = 0;
    bool own_entry_missing = false;
    for (auto const & restored : this->copies)
    {
        missing_objects += restored ? restored->missing_objects : 0;
        own_entry_missing =
            own_entry_missing || (restored && restored->own_entry_missing);
    }
    this->log.write(
        "store_era_rose",
        {{"era", absl::StrCat(era.value())},
         {"configuration", this->positions_of(object_kind::configuration)},
         {"evacuations", this->positions_of(object_kind::evacuations)},
         {"targets", this->positions_of(object_kind::targets)},
         {"objects_missing", absl::StrCat(missing_objects)},
         {"own_entry", own_entry_missing ? "missing" : "present"},
         {"from", copy.source}});
    this->copies = {};
}

/// @brief the old and the new position, as era and revision each
std::string store_restore_log::positions_of(object_kind kind) const
{
    auto const & copy = this->copies[static_cast<std::size_t>(kind)];
    return copy ? absl::StrCat(to_text(copy->old_version),
                               "-",
                               to_text(copy->new_version))
                : "unread";
}

} // namespace endivehinge::detail
