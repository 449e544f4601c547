#include "transport/conversions.h"

namespace beryllever::transport {

v1::ChangeBatch
ToMessage(const spread::ChangeSet& aSet, v1::Domain aDomain)
{
  v1::ChangeBatch batch;
  batch.set_domain(aDomain);
  batch.set_from(aSet.mFrom);
  batch.set_to(aSet.mTo);
  batch.set_is_full(aSet.mIsFull);
  batch.set_digest(aSet.mDigest);
  for (const spread::Change& change : aSet.mChanges) {
    v1::EntryChange* entry = batch.add_changes();
    entry->set_key(change.mKey);
    entry->set_value(change.mValue);
    entry->set_revision(change.mRevision);
    entry->set_is_deleted(change.mIsDeleted);
  }
  return batch;
}

spread::ChangeSet
FromMessage(const v1::ChangeBatch& aBatch)
{
  spread::ChangeSet set{ .mFrom = aBatch.from(),
                         .mTo = aBatch.to(),
                         .mIsFull = aBatch.is_full(),
                         .mDigest = aBatch.digest() };
  for (const v1::EntryChange& entry : aBatch.changes()) {
    set.mChanges.push_back(
      { entry.key(), entry.value(), entry.revision(), entry.is_deleted() });
  }
  return set;
}

v1::Ticket
ToMessage(const tickets::Ticket& aTicket)
{
  v1::Ticket ticket;
  ticket.set_endpoint(aTicket.mEndpoint);
  ticket.set_incarnation(aTicket.mIncarnation);
  ticket.set_number(aTicket.mNumber);
  return ticket;
}

tickets::Ticket
FromMessage(const v1::Ticket& aTicket)
{
  return { aTicket.endpoint(), aTicket.incarnation(), aTicket.number() };
}

v1::TicketOutcome
ToMessage(const tickets::Outcome& aOutcome)
{
  v1::TicketOutcome outcome;
  outcome.set_state(static_cast<v1::TicketState>(aOutcome.mState));
  outcome.set_http_status(aOutcome.mHttpStatus);
  outcome.set_body(aOutcome.mBody);
  return outcome;
}

}
