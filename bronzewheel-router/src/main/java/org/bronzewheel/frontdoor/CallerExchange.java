package org.bronzewheel.frontdoor;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bronzewheel.execution.DrainGate;

/** One exchange with a caller, which ends with its response or with its connection. */
final class CallerExchange {
    private final HttpServerResponse response;
    private final DrainGate gate;
    private final CompositeDisposable work = new CompositeDisposable();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Runnable onGone = () -> {};

    private CallerExchange(HttpServerResponse response, DrainGate gate) {
        this.response = response;
        this.gate = gate;
    }

    /** Opens an exchange; to be done before anything is written. */
    static CallerExchange open(HttpServerResponse response, DrainGate gate) {
        CallerExchange exchange = new CallerExchange(response, gate);
        gate.enter();
        response.endHandler(end -> exchange.end());
        response.closeHandler(closed -> exchange.close());
        return exchange;
    }

    HttpServerResponse response() {
        return response;
    }

    /** Adds work that is of no use without the caller. */
    void add(Disposable disposable) {
        work.add(disposable);
    }

    /** Sets what is done where the caller goes without the whole answer. */
    void onGone(Runnable action) {
        onGone = action;
    }

    private void end() {
        if (ended.compareAndSet(false, true)) {
            gate.exit();
        }
    }

    private void close() {
        if (ended.compareAndSet(false, true)) {
            work.dispose();
            onGone.run();
            gate.exit();
        }
    }
}
