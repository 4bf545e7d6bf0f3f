#include "fleet_gateway_impl_p.h"
#include "request_forwarder_p.h"

namespace catkin {

FleetGateway::FleetGateway(const asio::any_io_executor &executor, FleetView &view,
                           const RequestCodec &codec, FleetGatewayOptions options,
                           FleetGatewayHooks hooks)
    : impl(std::make_shared<Impl>(executor, view, codec, std::move(options), std::move(hooks))) {}

FleetGateway::~FleetGateway() = default;

asio::awaitable<void> FleetGateway::handle(HttpExchange &exchange) {
  RequestForwarder forwarder(impl, exchange);
  co_await forwarder.run();
}

void FleetGateway::setStop(Instant refuseFrom, Instant end) {
  impl->refuseFrom = refuseFrom;
  impl->stopEnd = end;
}

void FleetGateway::endRequests() {
  for (auto *it : impl->requests)
    it->endByStop();
}

DemandMeter &FleetGateway::demand() { return impl->demand; }

const std::map<std::pair<EndpointName, ModelRef>, int> &FleetGateway::runningRequests() const {
  return impl->runningRequests;
}

FleetMetrics &FleetGateway::metrics() { return impl->metrics; }

int FleetGateway::activeRequests() const { return static_cast<int>(impl->requests.size()); }

} // namespace catkin
