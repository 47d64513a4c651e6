package org.bronzewheel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/** A plain HTTP caller of a stand-in. */
final class HttpCaller {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String base;

    HttpCaller(String address) {
        this.base = "http://" + address;
    }

    HttpResponse<String> call(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(
                request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> start(
            String method, String path, String body, String... headers) {
        return client.sendAsync(
                request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    JsonNode json(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return MAPPER.readTree(call(method, path, body, headers).body());
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(base + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        return headers.length == 0 ? request.build() : request.headers(headers).build();
    }
}
