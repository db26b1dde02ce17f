import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP on loopback: servers with one thread for each request, and a client. */
final class Web {
    /** An answer; status 0 stands for no answer, and closes the connection. */
    record Answer(int status, String body) {}

    interface Handler {
        Answer handle(String method, String path, String body) throws Exception;
    }

    static final String HOST = "127.0.0.1";
    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    run -> {
                        Thread thread = new Thread(run);
                        thread.setDaemon(true);
                        return thread;
                    });
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .executor(THREADS)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    private Web() {}

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    /** Serves [handler] on a free port and returns the port. */
    static int serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(HOST, 0), 512);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Answer answer;
        try {
            String path = exchange.getRequestURI().toString();
            answer = handler.handle(exchange.getRequestMethod(), path, body);
        } catch (Exception e) {
            answer = new Answer(400, "{\"error\":\"" + e.getClass().getSimpleName() + "\"}");
        }
        if (answer.status() == 0) {
            exchange.close();
            return;
        }
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Sends a request; the answer has status 0 if there is none within [seconds]. */
    static Answer send(String method, String address, String path, String body, double seconds) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis((long) (seconds * 1000)))
                        .header("Content-Type", "application/json")
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, "");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "");
        }
    }

    static void run(Runnable task) {
        THREADS.execute(task);
    }
}
