package standins;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The figures of a deployment, as the brief and the site files give them. */
final class Site {
    /** A machine type; the amounts are those of the brief and of the site file. */
    static final class Type {
        final String label;
        final double cores;
        final double memGb;
        final double cacheGb;
        final double fetchGbPerS;
        final double hourly;
        final double spotPrice;
        final double bootS;

        /** The most ordinary machines and the most spot machines in each zone. */
        final int ordinary;

        final int spot;

        Type(
            String label, double cores, double memGb, double cacheGb, double fetchGbPerS,
            double hourly, double spotPrice, double bootS, int ordinary, int spot) {
            this.label = label;
            this.cores = cores;
            this.memGb = memGb;
            this.cacheGb = cacheGb;
            this.fetchGbPerS = fetchGbPerS;
            this.hourly = hourly;
            this.spotPrice = spotPrice;
            this.bootS = bootS;
            this.ordinary = ordinary;
            this.spot = spot;
        }
    }

    List<String> zones;
    List<String> teams;
    double cpus;
    double cpusMax;
    String objectives = "";
    double reportS;
    double leaseS;
    double gangWaitS;
    double gangPeerS;
    double cancelS;
    double rps;
    double writeRps;
    double valueKb;
    int txnOps;
    double cloudRps;
    double listLagS;
    long cloudLatencyMs;
    double clockErrorMs;
    double cpu;
    int fdLimit;
    List<Type> types;

    /** The zone of each controller. */
    List<String> controllerZones;

    private static List<String> numbered(String name, int count) {
        return IntStream.range(0, count)
            .mapToObj(i -> String.format("%s-%02d", name, i))
            .collect(Collectors.toList());
    }

    Type type(String label) {
        return types.stream().filter(t -> t.label.equals(label)).findFirst().orElseThrow();
    }

    Map<String, Double> limits() {
        return teams.stream().collect(Collectors.toMap(t -> t, t -> cpusMax));
    }

    private static String objective(String text) {
        return "[[facts.objectives]]\n" + text + "\n\n";
    }

    static Site szalasBooking() {
        Site site = new Site();
        site.zones = List.of("gyor-north", "pest-east", "pest-west");
        site.controllerZones = List.of("pest-east", "pest-west", "gyor-north");
        site.teams = numbered("routeplan", 10);
        site.cpus = 40;
        site.cpusMax = 96;
        site.objectives =
            objective("kind = \"deadline\"\nclass = \"slotfill\"\nshare = 0.78\ntimes = 1.0")
                + objective("kind = \"deadline\"\nclass = \"slotfill\"\nshare = 0.93\ntimes = 1.5")
                + objective("kind = \"deadline\"\nclass = \"urgentfill\"\nshare = 0.92\ntimes = 1.0")
                + objective(
                    "kind = \"deadline\"\nclass = \"urgentfill\"\nshare = 0.97\ntimes = 1.75")
                + objective(
                    "kind = \"wait\"\nclass = \"urgentfill\"\nwithin_s = 8.0\nshare = 0.85");
        site.reportS = 2.5;
        site.leaseS = 16;
        site.gangWaitS = 35;
        site.gangPeerS = 6;
        site.cancelS = 36;
        site.rps = 150;
        site.writeRps = 60;
        site.valueKb = 16;
        site.txnOps = 48;
        site.cloudRps = 6;
        site.listLagS = 6;
        site.cloudLatencyMs = 250;
        site.clockErrorMs = 250;
        site.cpu = 0.255;
        site.fdLimit = 1800;
        site.types = List.of(new Type("rackmid", 16, 64, 50, 0.1, 0.95, 0.4, 50, 7, 7));
        return site;
    }

    static Site cegkapuRegister() {
        Site site = new Site();
        site.zones = List.of("buda-hall");
        site.controllerZones = List.of("buda-hall", "buda-hall", "buda-hall");
        site.teams = numbered("filings", 8);
        site.cpus = 128;
        site.cpusMax = 384;
        site.objectives =
            objective("kind = \"finished\"\nclass = \"dailycheck\"\nwithin_s = 250.0\nshare = 0.85")
                + objective("kind = \"wait\"\nclass = \"rushcheck\"\nwithin_s = 15.0\nshare = 0.95")
                + objective(
                    "kind = \"finished\"\nclass = \"rushcheck\"\nwithin_s = 70.0\nshare = 0.95");
        site.reportS = 3;
        site.leaseS = 36;
        site.gangWaitS = 40;
        site.gangPeerS = 4;
        site.cancelS = 66;
        site.rps = 70;
        site.writeRps = 25;
        site.valueKb = 8;
        site.txnOps = 8;
        site.cloudRps = 8;
        site.listLagS = 3;
        site.cloudLatencyMs = 120;
        site.clockErrorMs = 100;
        site.cpu = 0.204;
        site.fdLimit = 2000;
        site.types =
            List.of(
                new Type("deskbox", 16, 128, 70, 1.0, 0.85, 0.24, 30, 9, 16),
                new Type("bigbox", 64, 256, 30, 0.6, 2.86, 0.7, 30, 1, 2));
        return site;
    }
}
