#include "app/node/context_runner.h"

#include <boost/core/demangle.hpp>

#include <exception>
#include <typeinfo>

namespace dandelionfall::app {

void runContext(boost::asio::io_context &Context,
                const std::function<void(const std::string &)> &Report) {
  for (;;) {
    try {
      Context.run();
      return;
    } catch (const std::exception &Fault) {
      Report(boost::core::demangle(typeid(Fault).name()) + ": " + Fault.what());
    } catch (...) {
      Report("an object that is no std::exception");
    }
  }
}

} // namespace dandelionfall::app
