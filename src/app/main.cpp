#include "dandelionfall/app/command_line.h"

int main(int Count, char **Arguments) {
  return dandelionfall::app::runCommandLine(Count, Arguments);
}
