package org.bronzewheel.inventory;

/**
 * A worker that serves stages: one address of one pool.
 *
 * @param name the name, unique in the inventory
 * @param vmId the VM it runs on, as the VM list names it
 * @param address {@code host:port}, the host an IP number
 * @param failureDomain the failure domain of the VM
 */
public record Upstream(String name, String vmId, String address, String failureDomain) {
    /**
     * Returns the host part of the address.
     *
     * @return an IP number
     */
    public String host() {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /**
     * Returns the port part of the address.
     *
     * @return 1 to 65535
     */
    public int port() {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
