package org.bronzewheel.router;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.upstream.LeavingListener;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmState;

/** A view of which upstreams are leaving: by the VM list, or by their own word. */
final class UpstreamView implements LeavingListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** How long an upstream's own word counts; after that its next answer tells again. */
    private static final long OWN_WORD_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<String, Long> ownWordNanos = new HashMap<>();
    private final LongSupplier nanoClock;
    private final Runnable onChange;

    UpstreamView(LongSupplier nanoClock, Runnable onChange) {
        this.nanoClock = nanoClock;
        this.onChange = onChange;
    }

    @Override
    public void leaving(Upstream upstream) {
        boolean isNew;
        synchronized (this) {
            isNew = ownWordNanos.put(upstream.name(), nanoClock.getAsLong()) == null;
        }
        if (isNew) {
            logger.atInfo().log("upstream %s says that it is leaving", upstream.name());
            onChange.run();
        }
    }

    /** Returns the names of the upstreams that must get no new work. */
    synchronized Set<String> leaving(Configuration configuration, VmList list) {
        long now = nanoClock.getAsLong();
        ownWordNanos.values().removeIf(since -> now - since > OWN_WORD_NANOS);
        Set<String> leaving = new HashSet<>(ownWordNanos.keySet());
        for (Pool pool : configuration.inventory().pools()) {
            for (Upstream upstream : pool.upstreams()) {
                if (list.revision() > 0 && !isLive(list.find(upstream.vmId()))) {
                    leaving.add(upstream.name());
                }
            }
        }
        return leaving;
    }

    private static boolean isLive(Optional<Vm> vm) {
        return vm.isPresent() && vm.get().state() == VmState.LIVE;
    }
}
