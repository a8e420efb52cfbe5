#include <common/connection_state.hpp>

#include <sys/socket.h> // recv, shutdown

namespace endivehinge::tools
{

bool has_hung_up(detail::http_connection connection)
{
    char byte = 0;
    return connection.socket >= 0 &&
           ::recv(connection.socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void cut(detail::http_connection connection)
{
    if (connection.socket >= 0)
    {
        ::shutdown(connection.socket, SHUT_RDWR);
    }
}

} // namespace endivehinge::tools
