package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Maybe;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/** A client of the platform's configuration service and VM list. */
public final class PlatformClient {
    private final JsonCalls calls;
    private final String configurationAddress;
    private final String vmListAddress;

    /**
     * Creates a client.
     *
     * @param client carries the calls; stays open
     * @param configurationAddress {@code host:port} of the configuration service
     * @param vmListAddress {@code host:port} of the VM list
     */
    public PlatformClient(HttpClient client, String configurationAddress, String vmListAddress) {
        this.calls = new JsonCalls(client, ErrorCode.PLATFORM_UNAVAILABLE);
        this.configurationAddress = configurationAddress;
        this.vmListAddress = vmListAddress;
    }

    /**
     * Reads the configuration, waiting for one that is newer.
     *
     * @param afterRevision the revision already known, 0 for none
     * @param waitMillis the longest wait, in milliseconds, 0 to answer at once
     * @return a document with a higher revision, empty where there is none, or an error with code
     *     PLATFORM_UNAVAILABLE
     */
    public Maybe<ConfigurationDocument> readConfiguration(long afterRevision, long waitMillis) {
        return read(configurationAddress, "/v1/configuration", afterRevision, waitMillis)
                .map(PlatformClient::configuration)
                .filter(document -> document.revision() > afterRevision)
                .onErrorResumeNext(PlatformClient::unavailable);
    }

    /**
     * Reads the VM list, waiting for one that is newer.
     *
     * @param afterRevision the revision already known, 0 for none
     * @param waitMillis the longest wait, in milliseconds, 0 to answer at once
     * @return a list with a higher revision, empty where there is none, or an error with code
     *     PLATFORM_UNAVAILABLE
     */
    public Maybe<VmList> readVmList(long afterRevision, long waitMillis) {
        return read(vmListAddress, "/v1/vms", afterRevision, waitMillis)
                .map(PlatformClient::vmList)
                .filter(list -> list.revision() > afterRevision)
                .onErrorResumeNext(PlatformClient::unavailable);
    }

    private Maybe<JsonNode> read(String address, String path, long after, long waitMillis) {
        String query = path + "?after=" + after + "&waitMillis=" + waitMillis;
        return calls.call(address, HttpMethod.GET, query, null, waitMillis);
    }

    /** Turns an answer that is not as the page says into an unavailable platform. */
    private static <T> Maybe<T> unavailable(Throwable error) {
        if (error instanceof BronzewheelException) {
            return Maybe.error(error);
        }
        return Maybe.error(
                new BronzewheelException(
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        Outcome.UNKNOWN,
                        "the platform's answer is invalid: " + error.getMessage(),
                        error));
    }

    private static ConfigurationDocument configuration(JsonNode json) {
        return new ConfigurationDocument(
                required(json, "revision").asLong(),
                required(json, "inventory").asText(),
                required(json, "rules").asText());
    }

    private static VmList vmList(JsonNode json) {
        List<Vm> vms = new ArrayList<>();
        for (JsonNode vm : required(json, "vms")) {
            vms.add(vm(vm));
        }
        vms.sort((a, b) -> a.vmId().compareTo(b.vmId()));
        return new VmList(required(json, "revision").asLong(), List.copyOf(vms));
    }

    private static Vm vm(JsonNode json) {
        return new Vm(
                required(json, "vmId").asText(),
                VmRole.valueOf(required(json, "role").asText()),
                VmState.valueOf(required(json, "state").asText()),
                json.path("failureDomain").asText(""),
                json.path("peerAddress").asText(""),
                json.path("httpAddress").asText(""));
    }

    private static JsonNode required(JsonNode json, String field) {
        JsonNode value = json.get(field);
        if (value == null || value.isNull()) {
            throw new IllegalArgumentException("field " + field + " is missing");
        }
        return value;
    }
}
