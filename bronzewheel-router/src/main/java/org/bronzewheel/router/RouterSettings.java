package org.bronzewheel.router;

import java.util.logging.Level;

/**
 * The settings of a router.
 *
 * @param vmId the VM it runs on, as the VM list names it
 * @param failureDomain the failure domain of the VM
 * @param host the IP number to listen on
 * @param httpPort the port for callers and operators, 0 for any
 * @param peerPort the port for peers, 0 for any
 * @param configurationAddress {@code host:port} of the configuration service
 * @param vmListAddress {@code host:port} of the VM list
 * @param balancerWaitMillis time between reporting unready and refusing new requests at a planned
 *     stop, in milliseconds
 * @param handOverMillis the longest time to hand claims and answers over at a planned stop, in
 *     milliseconds
 * @param loadPollMillis time between two rounds of load reports, in milliseconds
 * @param maxQueuedPerClass requests of one class that may wait for one pool
 * @param maxConnectionsPerUpstream connections to one upstream
 * @param connectTimeoutMillis the longest wait for a connection to an upstream, in milliseconds
 * @param maxAnswerBytes the largest answer of an upstream, in bytes
 * @param answerMegabytes memory for answers that are kept for repeated sends, in megabytes
 * @param opaqueKeyAgeMillis how old a key without its own time may be, in milliseconds; a router
 *     that started later does not vote for such keys
 * @param evidenceMillis how old the evidence on VM lists in use may be, in milliseconds; the same
 *     for the fleet
 * @param maxClockSkewMillis the largest difference between the wall clocks of two routers, in
 *     milliseconds; the same for the fleet
 * @param eventLoops threads that serve connections
 * @param otlpEndpoint the URL that takes spans by OTLP over HTTP, empty for none
 * @param logLevel the least level that is logged
 */
public record RouterSettings(
        String vmId,
        String failureDomain,
        String host,
        int httpPort,
        int peerPort,
        String configurationAddress,
        String vmListAddress,
        long balancerWaitMillis,
        long handOverMillis,
        long loadPollMillis,
        int maxQueuedPerClass,
        int maxConnectionsPerUpstream,
        int connectTimeoutMillis,
        int maxAnswerBytes,
        int answerMegabytes,
        long opaqueKeyAgeMillis,
        long evidenceMillis,
        long maxClockSkewMillis,
        int eventLoops,
        String otlpEndpoint,
        Level logLevel) {
    /**
     * Returns settings with the defaults of the flags.
     *
     * @param vmId the VM it runs on
     * @param failureDomain the failure domain of the VM
     * @param host the IP number to listen on
     * @param httpPort the port for callers and operators
     * @param peerPort the port for peers
     * @param configurationAddress {@code host:port} of the configuration service
     * @param vmListAddress {@code host:port} of the VM list
     * @return the settings
     */
    public static RouterSettings of(
            String vmId,
            String failureDomain,
            String host,
            int httpPort,
            int peerPort,
            String configurationAddress,
            String vmListAddress) {
        RouterFlags flags = new RouterFlags();
        flags.vmId = vmId;
        flags.failureDomain = failureDomain;
        flags.host = host;
        flags.httpPort = httpPort;
        flags.peerPort = peerPort;
        flags.configurationAddress = configurationAddress;
        flags.vmListAddress = vmListAddress;
        return flags.toSettings();
    }

    /**
     * Returns the same settings with another wait for the balancer.
     *
     * @param millis the wait in milliseconds
     * @return the settings
     */
    public RouterSettings withBalancerWaitMillis(long millis) {
        return new RouterSettings(
                vmId,
                failureDomain,
                host,
                httpPort,
                peerPort,
                configurationAddress,
                vmListAddress,
                millis,
                handOverMillis,
                loadPollMillis,
                maxQueuedPerClass,
                maxConnectionsPerUpstream,
                connectTimeoutMillis,
                maxAnswerBytes,
                answerMegabytes,
                opaqueKeyAgeMillis,
                evidenceMillis,
                maxClockSkewMillis,
                eventLoops,
                otlpEndpoint,
                logLevel);
    }
}
