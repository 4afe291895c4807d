#include "peer/CountingStream.h"

#include <utility>

namespace pollenwick {
namespace {

class CountingStream final : public kj::AsyncIoStream {
public:
  CountingStream(kj::Own<kj::AsyncIoStream> I, PeerTraffic &T)
      : Inner(kj::mv(I)), Traffic(T) {}

  kj::Promise<std::size_t> tryRead(void *Buffer, std::size_t MinBytes,
                                   std::size_t MaxBytes) override {
    return Inner->tryRead(Buffer, MinBytes, MaxBytes)
        .then([this](std::size_t Size) {
          Traffic.BytesReceived += Size;
          return Size;
        });
  }
  kj::Promise<void> write(const void *Buffer, std::size_t Size) override {
    Traffic.BytesSent += Size;
    return Inner->write(Buffer, Size);
  }
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override {
    for (const auto &Piece : Pieces)
      Traffic.BytesSent += Piece.size();
    return Inner->write(Pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return Inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { Inner->shutdownWrite(); }
  void abortRead() override { Inner->abortRead(); }
  void getsockopt(int Level, int Option, void *Value,
                  kj::uint *Length) override {
    Inner->getsockopt(Level, Option, Value, Length);
  }
  void setsockopt(int Level, int Option, const void *Value,
                  kj::uint Length) override {
    Inner->setsockopt(Level, Option, Value, Length);
  }

private:
  kj::Own<kj::AsyncIoStream> Inner;
  PeerTraffic &Traffic;
};

class CountingReceiver final : public kj::ConnectionReceiver {
public:
  CountingReceiver(kj::ConnectionReceiver &I, PeerTraffic &T)
      : Inner(I), Traffic(T) {}

  kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override {
    return Inner.accept().then([this](kj::Own<kj::AsyncIoStream> &&Stream) {
      return countBytes(kj::mv(Stream), Traffic);
    });
  }
  kj::uint getPort() override { return Inner.getPort(); }

private:
  kj::ConnectionReceiver &Inner;
  PeerTraffic &Traffic;
};

} // namespace

kj::Own<kj::AsyncIoStream> countBytes(kj::Own<kj::AsyncIoStream> Inner,
                                      PeerTraffic &Traffic) {
  return kj::heap<CountingStream>(kj::mv(Inner), Traffic);
}

kj::Own<kj::ConnectionReceiver> countBytes(kj::ConnectionReceiver &Inner,
                                           PeerTraffic &Traffic) {
  return kj::heap<CountingReceiver>(Inner, Traffic);
}

} // namespace pollenwick
