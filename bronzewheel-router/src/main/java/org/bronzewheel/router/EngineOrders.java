package org.bronzewheel.router;

import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.steward.EngineOrder;
import org.bronzewheel.steward.OrderResult;
import org.bronzewheel.steward.OrderSender;
import org.bronzewheel.steward.OrderedModel;
import org.bronzewheel.upstream.ControlClient;
import org.bronzewheel.upstream.ModelOrder;
import org.bronzewheel.upstream.OrderReply;

/** A sender of the stewards' orders over HTTP. */
final class EngineOrders implements OrderSender {
    private final ControlClient client;
    private final Supplier<Optional<Configuration>> configuration;

    EngineOrders(ControlClient client, Supplier<Optional<Configuration>> configuration) {
        this.client = client;
        this.configuration = configuration;
    }

    @Override
    public Single<OrderResult> send(EngineOrder order) {
        Optional<Upstream> engine = configuration.get().flatMap(c -> find(c, order));
        if (engine.isEmpty()) {
            return Single.just(OrderResult.UNKNOWN);
        }
        List<ModelOrder> models = order.models().stream().map(EngineOrders::model).toList();
        return client.order(engine.get(), order.fencingNumber(), models).map(EngineOrders::result);
    }

    private static Optional<Upstream> find(Configuration configuration, EngineOrder order) {
        return configuration.inventory().pools().stream()
                .flatMap(pool -> pool.upstreams().stream())
                .filter(upstream -> upstream.name().equals(order.upstreamName()))
                .findFirst();
    }

    private static ModelOrder model(OrderedModel model) {
        return new ModelOrder(model.model(), model.version(), model.adapters());
    }

    private static OrderResult result(OrderReply reply) {
        return switch (reply) {
            case READY -> OrderResult.DONE;
            case LOADING -> OrderResult.LOADING;
            case FENCED -> OrderResult.FENCED;
            case UNKNOWN -> OrderResult.UNKNOWN;
        };
    }
}
