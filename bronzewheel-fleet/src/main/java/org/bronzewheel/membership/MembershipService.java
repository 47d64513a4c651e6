package org.bronzewheel.membership;

import io.reactivex.rxjava3.core.Flowable;
import org.bronzewheel.service.Service;

/** The published VM list combined with the observed health of the peers. */
public interface MembershipService extends Service {
    /**
     * Returns the newest view.
     *
     * @return the view, {@link MembershipView#EMPTY} before the first list
     */
    MembershipView current();

    /**
     * Returns the views as they change, beginning with the current one.
     *
     * @return views; slow subscribers get the newest only
     */
    Flowable<MembershipView> changes();

    /** Announces to the peers that this router is leaving, as part of a planned stop. */
    void announceLeaving();

    /**
     * Advertises to the peers which configuration this router uses; does nothing by default.
     *
     * @param revision its revision
     */
    default void advertiseConfiguration(long revision) {}
}
