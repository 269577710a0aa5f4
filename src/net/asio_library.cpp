// Compiles the implementation of Asio and Beast (separate compilation mode);
// no other source may include these headers.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
