# Enables compiler warnings for a target; generated code is compiled without them.
function(dandelionfall_warnings TARGET_NAME)
  target_compile_options(${TARGET_NAME} PRIVATE -Wall -Wextra -Wpedantic
    -Wshadow -Wnon-virtual-dtor)
  if(DANDELIONFALL_WARNINGS_AS_ERRORS)
    target_compile_options(${TARGET_NAME} PRIVATE -Werror)
  endif()
endfunction()
