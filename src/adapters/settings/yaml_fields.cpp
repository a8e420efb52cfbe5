#include "yaml_fields.hpp"

#include <algorithm> // all_of, find, sort
#include <cmath>     // isfinite
#include <utility>   // move

#include <absl/strings/ascii.h>    // ascii_isalnum
#include <absl/strings/match.h>    // StartsWith
#include <absl/strings/numbers.h>  // SimpleAtoi, SimpleAtod
#include <absl/strings/str_cat.h>  // StrCat
#include <absl/strings/str_join.h> // StrJoin

namespace endivehinge::detail
{
namespace
{

constexpr std::size_t longest_identifier = 128;

bool is_identifier_letter(char letter)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(letter)) ||
           letter == '.' || letter == '_' || letter == '-';
}

std::string stem_of(std::string const & name)
{
    return name.substr(0, name.rfind('_'));
}

// a field of the same meaning in another unit, or nothing
std::string same_in_another_unit(std::string const & unknown,
                                 std::vector<std::string> const & known)
{
    for (auto const & candidate : known)
    {
        bool const has_unit =
            absl::EndsWith(candidate, "_ms") || absl::EndsWith(candidate, "_s");
        if (has_unit && (stem_of(candidate) == unknown ||
                         stem_of(candidate) == stem_of(unknown)))
        {
            return candidate;
        }
    }
    return {};
}

std::string scalar(YAML::Node const & node, std::string const & field)
{
    if (!node.IsScalar() || node.Scalar().empty())
    {
        throw yaml_error(
            node.Mark(), field, "is not a single value", "give one value");
    }
    return node.Scalar();
}

} // namespace

yaml_error::yaml_error(YAML::Mark const & mark,
                       std::string const & field,
                       std::string const & problem,
                       std::string const & fix)
    : line(mark.line + 1)
    , text(absl::StrCat(field, field.empty() ? "" : " ", problem, "; ", fix))
{
}

char const * yaml_error::what() const noexcept
{
    return this->text.c_str();
}

yaml_fields::yaml_fields(YAML::Node const & given, std::string name)
    : node(given)
    , path(std::move(name))
{
    std::string const called = this->path.empty() ? "the text" : this->path;
    if (!given.IsMap())
    {
        throw yaml_error(given.Mark(),
                         called,
                         "is not a map of fields",
                         "write it as 'field: value' lines");
    }
    std::vector<std::string> seen;
    for (auto const & field : given)
    {
        std::string const key = scalar(field.first, called);
        if (std::find(seen.begin(), seen.end(), key) != seen.end())
        {
            throw yaml_error(field.first.Mark(),
                             this->path_of(key),
                             "is given twice",
                             "keep one of them");
        }
        seen.push_back(key);
    }
}

std::optional<YAML::Node> yaml_fields::find(std::string const & name)
{
    this->known.push_back(name);
    for (auto const & field : this->node)
    {
        if (field.first.Scalar() == name)
        {
            return field.second;
        }
    }
    return std::nullopt;
}

YAML::Node yaml_fields::require(std::string const & name)
{
    auto const found = this->find(name);
    if (!found.has_value())
    {
        throw yaml_error(this->node.Mark(),
                         this->path_of(name),
                         "is missing",
                         absl::StrCat("add '", name, ":'"));
    }
    return *found;
}

std::string yaml_fields::identifier(std::string const & name)
{
    return read_identifier(this->require(name), this->path_of(name));
}

endpoint yaml_fields::address(std::string const & name)
{
    YAML::Node const found = this->require(name);
    failure reason;
    auto const parsed =
        endpoint::parse(scalar(found, this->path_of(name)), reason);
    if (!parsed.has_value())
    {
        throw yaml_error(found.Mark(),
                         this->path_of(name),
                         absl::StrCat("does not parse: ", reason.detail),
                         "write IP:PORT, such as 10.0.0.7:8080");
    }
    return *parsed;
}

std::string yaml_fields::text(std::string const & name,
                              std::string const & fallback)
{
    auto const found = this->find(name);
    return found.has_value() ? scalar(*found, this->path_of(name)) : fallback;
}

bool yaml_fields::flag(std::string const & name, bool fallback)
{
    auto const found = this->find(name);
    if (!found.has_value())
    {
        return fallback;
    }
    std::string const value = scalar(*found, this->path_of(name));
    if (value != "true" && value != "false")
    {
        throw yaml_error(found->Mark(),
                         this->path_of(name),
                         absl::StrCat("is '", value, "'"),
                         "write true or false");
    }
    return value == "true";
}

double yaml_fields::number(std::string const & name,
                           double fallback,
                           field_bounds<double> bounds)
{
    auto const found = this->find(name);
    if (!found.has_value())
    {
        return fallback;
    }
    std::string const value = scalar(*found, this->path_of(name));
    double read = 0;
    if (!absl::SimpleAtod(value, &read) || !std::isfinite(read) ||
        read < bounds.least || read > bounds.greatest)
    {
        throw yaml_error(
            found->Mark(),
            this->path_of(name),
            absl::StrCat("is '", value, "'"),
            absl::StrCat(
                "write a number from ", bounds.least, " to ", bounds.greatest));
    }
    return read;
}

std::optional<std::int64_t>
yaml_fields::whole(std::string const & name,
                   char const * unit,
                   field_bounds<std::int64_t> bounds)
{
    auto const found = this->find(name);
    if (!found.has_value())
    {
        return std::nullopt;
    }
    std::string const value = scalar(*found, this->path_of(name));
    std::int64_t read = 0;
    if (!absl::SimpleAtoi(value, &read) || read < bounds.least ||
        read > bounds.greatest)
    {
        throw yaml_error(found->Mark(),
                         this->path_of(name),
                         absl::StrCat("is '", value, "'"),
                         absl::StrCat("write a whole number of ",
                                      unit,
                                      " from ",
                                      bounds.least,
                                      " to ",
                                      bounds.greatest,
                                      ", without a unit"));
    }
    return read;
}

std::optional<duration>
yaml_fields::milliseconds(std::string const & name,
                          field_bounds<std::int64_t> bounds)
{
    auto const read = this->whole(name, "milliseconds", bounds);
    return read.has_value()
               ? std::optional<duration>(std::chrono::milliseconds(*read))
               : std::nullopt;
}

std::optional<duration> yaml_fields::seconds(std::string const & name,
                                             field_bounds<std::int64_t> bounds)
{
    auto const read = this->whole(name, "seconds", bounds);
    return read.has_value()
               ? std::optional<duration>(std::chrono::seconds(*read))
               : std::nullopt;
}

void yaml_fields::finish() const
{
    for (auto const & field : this->node)
    {
        std::string const & key = field.first.Scalar();
        if (std::find(this->known.begin(), this->known.end(), key) !=
            this->known.end())
        {
            continue;
        }
        std::string const other = same_in_another_unit(key, this->known);
        if (!other.empty())
        {
            throw yaml_error(field.first.Mark(),
                             this->path_of(key),
                             "has the wrong unit",
                             absl::StrCat("write ", other));
        }
        throw yaml_error(
            field.first.Mark(),
            this->path_of(key),
            "is not a known field",
            absl::StrCat("known are ", absl::StrJoin(this->known, ", ")));
    }
}

std::string yaml_fields::path_of(std::string const & name) const
{
    return this->path.empty() ? name : absl::StrCat(this->path, ".", name);
}

YAML::Mark yaml_fields::mark() const
{
    return this->node.Mark();
}

std::string read_identifier(YAML::Node const & node, std::string const & field)
{
    std::string value = scalar(node, field);
    bool const fits =
        value.size() <= longest_identifier &&
        std::all_of(value.begin(), value.end(), &is_identifier_letter);
    if (!fits)
    {
        throw yaml_error(node.Mark(),
                         field,
                         absl::StrCat("is '", value, "'"),
                         "use letters, digits, '.', '_' and '-', at most 128");
    }
    return value;
}

std::vector<YAML::Node> read_list(YAML::Node const & node,
                                  std::string const & field)
{
    if (!node.IsSequence())
    {
        throw yaml_error(
            node.Mark(), field, "is not a list", "write it as '- ' lines");
    }
    return {node.begin(), node.end()};
}

failure describe(std::exception const & error,
                 failure_id id,
                 std::string const & source)
{
    int line = 0;
    std::string text = error.what();
    if (auto const * const ours = dynamic_cast<yaml_error const *>(&error))
    {
        line = ours->line;
    }
    else if (auto const * const theirs =
                 dynamic_cast<YAML::Exception const *>(&error))
    {
        line = theirs->mark.line + 1;
        text = absl::StrCat(
            "the text is not YAML: ", theirs->msg, "; mend this line");
    }
    return {id, "read YAML", {}, absl::StrCat(source, ":", line, ": ", text)};
}

} // namespace endivehinge::detail
