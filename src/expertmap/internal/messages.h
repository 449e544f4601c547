#pragma once

#include "beryllever.pb.h"
#include "steplease/stepleasetypes.h"

namespace beryllever::expertmap {

v1::Epoch
ToMessage(const steplease::Epoch& aEpoch);
steplease::Epoch
FromMessage(const v1::Epoch& aEpoch);

v1::PromiseRequest
ToMessage(const steplease::PromiseRequest& aRequest, const std::string& aGroup);
steplease::PromiseRequest
FromMessage(const v1::PromiseRequest& aRequest);

v1::PromiseReply
ToMessage(const steplease::PromiseReply& aReply);
/** aEpoch and aRank are those of the request; the message does not carry them.
 */
steplease::PromiseReply
FromMessage(const v1::PromiseReply& aReply,
            const steplease::Epoch& aEpoch,
            int aRank);

v1::GrantRequest
ToMessage(const steplease::GrantRequest& aRequest, const std::string& aGroup);
steplease::GrantRequest
FromMessage(const v1::GrantRequest& aRequest);

}
