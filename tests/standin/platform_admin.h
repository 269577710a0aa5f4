/// \file
/// The admin calls by which tests control the platform stand-in.
#ifndef DANDELIONFALL_STANDIN_PLATFORM_ADMIN_H
#define DANDELIONFALL_STANDIN_PLATFORM_ADMIN_H

#include "standin/platform_service.h"

namespace dandelionfall::standin {

/// Handles an admin request; an unknown one gets status 404.
/// \param Service the service to read or change.
/// \param Exchange the exchange that receives the response.
void handlePlatformAdmin(PlatformService &Service, const HttpRequest &Request,
                         const ExchangePtr &Exchange);

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_PLATFORM_ADMIN_H
