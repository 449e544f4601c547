#include "consul/internal/consulanswers.h"

#include "framework/settings/jsondocument.h"

#include <QByteArray>

namespace beryllever::consul {

using global::ErrorKind;
using global::Fail;
using settings::Json;

namespace {

constexpr char kRoleKey[] = "beryllever-role";
constexpr char kZoneKey[] = "beryllever-availability-zone";
constexpr char kCallerKey[] = "beryllever-caller-address";
constexpr char kPeerKey[] = "beryllever-peer-address";
constexpr char kOperatorKey[] = "beryllever-operator-address";
constexpr char kStateKey[] = "beryllever-state";

configuration::Document
DocumentFromPair(const Json& aPair)
{
  const std::string key = aPair.at("Key");
  const std::string value =
    aPair.at("Value").is_null() ? "" : aPair.at("Value").get<std::string>();
  return {
    key.substr(sizeof(kDocumentsPrefix) - 1),
    QByteArray::fromBase64(QByteArray::fromStdString(value)).toStdString(),
    aPair.at("ModifyIndex").get<uint64_t>()
  };
}

configuration::Vm
VmFromNode(const Json& aNode)
{
  const Json& meta = aNode.at("Meta");
  return { .mName = aNode.at("Node"),
           .mAvailabilityZone = meta.value(kZoneKey, ""),
           .mRole = meta.value(kRoleKey, ""),
           .mCallerAddress = meta.value(kCallerKey, ""),
           .mPeerAddress = meta.value(kPeerKey, ""),
           .mOperatorAddress = meta.value(kOperatorKey, ""),
           .mState = meta.value(kStateKey, "live") == "leaving"
                       ? configuration::VmState::Leaving
                       : configuration::VmState::Live };
}

}

global::Result<std::vector<configuration::Document>>
ParseKeyValues(const std::string& aBody)
{
  try {
    std::vector<configuration::Document> documents;
    for (const Json& pair : Json::parse(aBody)) {
      documents.push_back(DocumentFromPair(pair));
    }
    return documents;
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::InvalidConfiguration,
                std::string("invalid response to the documents query: ") +
                  error.what());
  }
}

global::Result<std::vector<configuration::Vm>>
ParseNodes(const std::string& aBody)
{
  try {
    std::vector<configuration::Vm> vms;
    for (const Json& node : Json::parse(aBody)) {
      if (node.at("Meta").is_object() && node.at("Meta").contains(kRoleKey)) {
        vms.push_back(VmFromNode(node));
      }
    }
    return vms;
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::InvalidConfiguration,
                std::string("invalid response to the VM list query: ") +
                  error.what());
  }
}

}
