#pragma once

#include "beryllever.pb.h"
#include "spread/revisionstore.h"
#include "tickets/ticketbook.h"

namespace beryllever::transport {

v1::ChangeBatch
ToMessage(const spread::ChangeSet& aSet, v1::Domain aDomain);
spread::ChangeSet
FromMessage(const v1::ChangeBatch& aBatch);

v1::Ticket
ToMessage(const tickets::Ticket& aTicket);
tickets::Ticket
FromMessage(const v1::Ticket& aTicket);

v1::TicketOutcome
ToMessage(const tickets::Outcome& aOutcome);

}
