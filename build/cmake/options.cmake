# Compiler warnings and the sanitizer switch, shared by every target.
add_compile_options(-Wall -Wextra -Wpedantic -Wno-missing-field-initializers)

option(POPLARPITCH_SANITIZE "Build with address and undefined-behaviour sanitizers" OFF)
if(POPLARPITCH_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()
option(POPLARPITCH_THREAD_SANITIZE "Build with the thread sanitizer" OFF)
if(POPLARPITCH_THREAD_SANITIZE)
  add_compile_options(-fsanitize=thread -fno-omit-frame-pointer)
  add_link_options(-fsanitize=thread)
endif()

# The faster linker and the compiler cache are used where they are installed.
find_program(MOLD_PROGRAM mold)
if(MOLD_PROGRAM)
  add_link_options(-fuse-ld=mold)
endif()
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()
