/// \file
/// The calls that tests make of the platform stand-in.
#ifndef DANDELIONFALL_STANDIN_PLATFORM_ADMIN_H
#define DANDELIONFALL_STANDIN_PLATFORM_ADMIN_H

#include "standin/platform_service.h"

namespace dandelionfall::standin {

/// Takes an admin request.
/// \param Service the service that it changes.
/// \param Request the request.
/// \param Reply where its answer goes.
void handlePlatformAdmin(PlatformService &Service, const HttpRequest &Request,
                         const ExchangePtr &Reply);

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_PLATFORM_ADMIN_H
