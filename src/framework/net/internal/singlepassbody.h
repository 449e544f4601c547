#pragma once

#include <QIODevice>

namespace beryllever::net {

/**
 * Request body that can be sent only once. QNetworkAccessManager sends a
 * request again after some connection errors; a sequential device that refuses
 * to be reset keeps it from doing so.
 */
class SinglePassBody : public QIODevice
{
public:
  explicit SinglePassBody(QByteArray aBody);

  bool isSequential() const override { return true; }
  bool reset() override { return false; }
  qint64 bytesAvailable() const override
  {
    return mBody.size() - mPosition + QIODevice::bytesAvailable();
  }
  /** Whether any byte has been handed to a connection. */
  bool IsTouched() const { return mPosition > 0; }

protected:
  qint64 readData(char* aData, qint64 aMax) override;
  qint64 writeData(const char* aData, qint64 aSize) override;

private:
  QByteArray mBody;
  qint64 mPosition = 0;
};

}
