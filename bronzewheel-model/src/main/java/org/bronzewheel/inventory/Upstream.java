package org.bronzewheel.inventory;

/**
 * A worker that runs stages, reachable at one address; belongs to one pool.
 *
 * @param name the name, unique in the inventory
 * @param vmId the id of the VM it runs on, as in the VM list
 * @param address {@code host:port}, where the host is an IP address
 * @param failureDomain the failure domain of the VM
 */
public record Upstream(String name, String vmId, String address, String failureDomain) {
    /**
     * Returns the host part of the address.
     *
     * @return an IP address
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
