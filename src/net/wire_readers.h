/// \file
/// Table of readers: which member of a frame's body is set, and how it becomes
/// a message.
#ifndef DANDELIONFALL_SRC_NET_WIRE_READERS_H
#define DANDELIONFALL_SRC_NET_WIRE_READERS_H

#include <wire_types.h>

#include <cstddef>

namespace dandelionfall::net {

/// Reads one kind of message.
template <typename Message> struct MessageReader {
  bool (*m_IsSet)(const wire::Body &);
  Message (*m_Read)(wire::Body &);
};

/// Reads a body by the first row whose member is set.
/// \param Readers the readers.
/// \param Body the body; its content may be moved from.
/// \param Result receives the message.
/// \returns false if the body holds none of the rows' messages.
template <typename Message, std::size_t Count>
bool readMessage(const MessageReader<Message> (&Readers)[Count],
                 wire::Body &Body, Message &Result) {
  for (const MessageReader<Message> &Reader : Readers) {
    if (!Reader.m_IsSet(Body))
      continue;
    Result = Reader.m_Read(Body);
    return true;
  }
  return false;
}

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_WIRE_READERS_H
