#include <endivehinge/detail/commands/commands.hpp>

int main(int argc, char ** argv)
{
    return endivehinge::detail::run_command_line(argc, argv);
}
