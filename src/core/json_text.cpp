#include <endivehinge/core/json_text.hpp>

#include <nlohmann/json.hpp> // json

namespace endivehinge
{

std::string to_json_text(nlohmann::json const & value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace endivehinge
