# warnings for the project's own code; generated code is compiled without them
add_library(endivehinge_warnings INTERFACE)
target_compile_options(endivehinge_warnings INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual
    -Werror)
