/// \file
/// Selection of the conversion function for the member that is set in the body
/// of a frame.
#ifndef DANDELIONFALL_SRC_NET_WIRE_READERS_H
#define DANDELIONFALL_SRC_NET_WIRE_READERS_H

#include <wire_types.h>

#include <cstddef>

namespace dandelionfall::net {

/// Conversion of one message type.
template <typename Message> struct MessageReader {
  bool (*m_IsSet)(const wire::Body &);
  Message (*m_Read)(wire::Body &);
};

/// Converts a body with the first reader whose member is set.
/// \param Body the body; its content may be moved from.
/// \param Result set only if a reader matches.
/// \returns whether a reader matches.
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
