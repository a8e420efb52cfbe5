#include <common/json_response.hpp>

namespace endivehinge::tools
{

http_response json_response(int status, nlohmann::json const & body)
{
    http_response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

} // namespace endivehinge::tools
