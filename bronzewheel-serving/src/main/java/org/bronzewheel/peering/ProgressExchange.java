package org.bronzewheel.peering;

import org.bronzewheel.catalog.CatalogProgress;

/** Supplies the catalog progress sent with each heartbeat, and receives that of the peers. */
public interface ProgressExchange {
    /** An exchange for routers without a published catalog. */
    ProgressExchange NONE =
            new ProgressExchange() {
                @Override
                public CatalogProgress own() {
                    return new CatalogProgress(-1, 0, 0);
                }

                @Override
                public void received(String vmId, CatalogProgress progress) {}
            };

    /**
     * Returns the progress of this router.
     *
     * @return the progress
     */
    CatalogProgress own();

    /**
     * Receives the progress of a peer.
     *
     * @param vmId the VM of the peer
     * @param progress its progress
     */
    void received(String vmId, CatalogProgress progress);
}
