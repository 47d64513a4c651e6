package org.bronzewheel.steward;

import io.reactivex.rxjava3.core.Single;

/** Sends orders to model engines. */
@FunctionalInterface
public interface OrderSender {
    /**
     * Sends an order.
     *
     * @param order the order
     * @return whether the engine accepted it, refused its fencing number, or may have accepted it
     */
    Single<OrderResult> send(EngineOrder order);
}
