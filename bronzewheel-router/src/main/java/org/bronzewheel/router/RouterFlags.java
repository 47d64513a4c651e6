package org.bronzewheel.router;

import com.beust.jcommander.Parameter;
import java.util.Locale;
import java.util.Set;
import java.util.logging.Level;
import java.util.regex.Pattern;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** The flags of the router process; each is also an environment variable. */
final class RouterFlags {
    private static final int MAX_PORT = 65_535;
    private static final long MAX_MILLIS = 3_600_000;
    private static final long MAX_KEY_AGE_MILLIS = 600_000;
    private static final long MIN_EVIDENCE_MILLIS = 100;
    private static final long MAX_EVIDENCE_MILLIS = 120_000;
    private static final long MAX_CLOCK_SKEW_MILLIS = 60_000;
    private static final int MAX_COUNT = 1_000_000;
    private static final Pattern VM_ID = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final Pattern IP_NUMBER =
            Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]*");
    private static final Pattern ADDRESS = Pattern.compile("[^\\s/]+:\\d{1,5}");
    private static final Set<String> LEVELS = Set.of("SEVERE", "WARNING", "INFO", "FINE");

    @Parameter(names = "--vm-id", description = "id of the own VM, as the VM list names it")
    String vmId = "";

    @Parameter(names = "--failure-domain", description = "failure domain of the own VM")
    String failureDomain = "";

    @Parameter(names = "--host", description = "IP number to listen on")
    String host = "127.0.0.1";

    @Parameter(names = "--http-port", description = "port for callers and operators, 0 for any")
    int httpPort = 8080;

    @Parameter(names = "--peer-port", description = "port for other routers, 0 for any")
    int peerPort = 8081;

    @Parameter(
            names = "--configuration-address",
            description = "host:port of the configuration service")
    String configurationAddress = "";

    @Parameter(names = "--vm-list-address", description = "host:port of the VM list")
    String vmListAddress = "";

    @Parameter(
            names = "--balancer-wait-millis",
            description = "milliseconds from reporting unready to refusing requests at a stop")
    long balancerWaitMillis = 5_000;

    @Parameter(
            names = "--hand-over-millis",
            description = "longest milliseconds to hand claims and answers over at a stop")
    long handOverMillis = 5_000;

    @Parameter(
            names = "--load-poll-millis",
            description = "milliseconds between two rounds of load reports")
    long loadPollMillis = 250;

    @Parameter(
            names = "--max-queued-per-class",
            description = "requests of one class that may wait for one pool")
    int maxQueuedPerClass = 2_000;

    @Parameter(
            names = "--max-connections-per-upstream",
            description = "connections to one upstream")
    int maxConnectionsPerUpstream = 512;

    @Parameter(
            names = "--connect-timeout-millis",
            description = "longest milliseconds to connect to an upstream")
    int connectTimeoutMillis = 1_000;

    @Parameter(names = "--max-answer-bytes", description = "largest answer of an upstream, bytes")
    int maxAnswerBytes = 4 << 20;

    @Parameter(
            names = "--answer-megabytes",
            description = "memory for answers kept for repeated sends, megabytes")
    int answerMegabytes = 16;

    @Parameter(
            names = "--opaque-key-age-millis",
            description =
                    "oldest age in milliseconds of a key that is no UUID of version 7; a router"
                            + " that started later does not vote for such keys")
    long opaqueKeyAgeMillis = 600_000;

    @Parameter(
            names = "--evidence-millis",
            description =
                    "age in milliseconds of the evidence on VM lists in use, the same for the"
                            + " fleet; peers are asked four times within it, so raise it with the"
                            + " fleet's size")
    long evidenceMillis = 2_000;

    @Parameter(
            names = "--max-clock-skew-millis",
            description =
                    "largest difference in milliseconds between the wall clocks of two routers,"
                            + " the same for the fleet")
    long maxClockSkewMillis = 500;

    @Parameter(names = "--event-loops", description = "threads that serve connections")
    int eventLoops = 2;

    @Parameter(
            names = "--otlp-endpoint",
            description = "URL that takes spans by OTLP over HTTP, empty for none")
    String otlpEndpoint = "";

    @Parameter(
            names = "--log-level",
            description = "least level that is logged: SEVERE, WARNING, INFO or FINE")
    String logLevel = "INFO";

    @Parameter(names = "--help", description = "print this help", help = true)
    boolean help;

    /** Checks the values; the exception names the first wrong one. */
    RouterSettings toSettings() {
        match("--vm-id", vmId, VM_ID, "1 to 63 lower-case letters, digits or hyphens");
        require("--failure-domain", failureDomain, !failureDomain.isBlank(), "a failure domain");
        match("--host", host, IP_NUMBER, "an IP number");
        range("--http-port", httpPort, 0, MAX_PORT);
        range("--peer-port", peerPort, 0, MAX_PORT);
        match("--configuration-address", configurationAddress, ADDRESS, "host:port");
        match("--vm-list-address", vmListAddress, ADDRESS, "host:port");
        range("--balancer-wait-millis", balancerWaitMillis, 0, MAX_MILLIS);
        range("--hand-over-millis", handOverMillis, 0, MAX_MILLIS);
        range("--load-poll-millis", loadPollMillis, 1, MAX_MILLIS);
        range("--max-queued-per-class", maxQueuedPerClass, 1, MAX_COUNT);
        range("--max-connections-per-upstream", maxConnectionsPerUpstream, 1, MAX_COUNT);
        range("--connect-timeout-millis", connectTimeoutMillis, 1, MAX_MILLIS);
        range("--max-answer-bytes", maxAnswerBytes, 1, 1 << 30);
        range("--answer-megabytes", answerMegabytes, 1, 1 << 20);
        range("--opaque-key-age-millis", opaqueKeyAgeMillis, 0, MAX_KEY_AGE_MILLIS);
        range("--evidence-millis", evidenceMillis, MIN_EVIDENCE_MILLIS, MAX_EVIDENCE_MILLIS);
        range("--max-clock-skew-millis", maxClockSkewMillis, 0, MAX_CLOCK_SKEW_MILLIS);
        range("--event-loops", eventLoops, 1, 1 << 10);
        String level = logLevel.toUpperCase(Locale.ROOT);
        require("--log-level", logLevel, LEVELS.contains(level), "one of " + LEVELS);
        return new RouterSettings(
                vmId,
                failureDomain,
                host,
                httpPort,
                peerPort,
                configurationAddress,
                vmListAddress,
                balancerWaitMillis,
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
                Level.parse(level));
    }

    private static void match(String flag, String value, Pattern pattern, String expected) {
        require(flag, value, pattern.matcher(value).matches(), expected);
    }

    private static void range(String flag, long value, long least, long most) {
        require(
                flag,
                Long.toString(value),
                value >= least && value <= most,
                "a whole number from " + least + " to " + most);
    }

    private static void require(String flag, String value, boolean holds, String expected) {
        if (!holds) {
            throw new BronzewheelException(
                    ErrorCode.INVALID_SETTING, flag + " is '" + value + "', expected " + expected);
        }
    }
}
