package org.bronzewheel.steward;

import io.reactivex.rxjava3.core.Single;

/** A sender of orders to model engines. */
@FunctionalInterface
public interface OrderSender {
    /**
     * Sends an order.
     *
     * @param order the order
     * @return whether the engine took it, refused its fencing number, or may have taken it
     */
    Single<OrderResult> send(EngineOrder order);
}
