#include <endivehinge/core/http_message.hpp>

#include <algorithm> // remove_if, find_if
#include <utility>   // move

#include <absl/strings/match.h> // EqualsIgnoreCase

namespace endivehinge
{

void http_headers::add(std::string name, std::string value)
{
    this->fields.push_back({std::move(name), std::move(value)});
}

void http_headers::set(std::string name, std::string value)
{
    this->remove(name);
    this->add(std::move(name), std::move(value));
}

void http_headers::remove(absl::string_view name)
{
    auto const has_name = [name](http_header const & field)
    {
        return absl::EqualsIgnoreCase(field.name, name);
    };
    this->fields.erase(
        std::remove_if(this->fields.begin(), this->fields.end(), has_name),
        this->fields.end());
}

std::string const * http_headers::find(absl::string_view name) const
{
    for (auto const & field : this->fields)
    {
        if (absl::EqualsIgnoreCase(field.name, name))
        {
            return &field.value;
        }
    }
    return nullptr;
}

std::vector<http_header> const & http_headers::all() const
{
    return this->fields;
}

} // namespace endivehinge
